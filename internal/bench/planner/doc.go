// Package planner measures the planner's decisions with a virtual clock against the stated targets.
package planner
