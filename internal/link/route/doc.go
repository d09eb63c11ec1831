// Package route is the plug-in that runs the decisions of an entry instance and executes their effects:
// verdicts to the caller link, calls of the platform's store and frames to other entry instances.
package route
