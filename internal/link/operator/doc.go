// Package operator is the operators' HTTP listener: state dump, metrics, status, explanations and a page.
package operator
