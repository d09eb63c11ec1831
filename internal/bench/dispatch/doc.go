// Package dispatch measures the dispatch decision with a virtual clock against baselines in the same run.
package dispatch
