// Package plan is the plug-in that runs the planner.
//
// One duty decides on waves and pool capacity while this entry instance owns the reserved service name "planner".
// A second duty makes the store calls of the first.
package plan
