// Package operator is the plug-in with the operators' HTTP listener. It serves the state dump, metrics, the status as
// JSON and as a page, explanations of the routing and, for failure tests, simulated partitions.
package operator
