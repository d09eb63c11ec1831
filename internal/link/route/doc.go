// Package route is the plug-in whose duty runs an entry instance's decisions
// and carries their effects to the callers, the store and the other entry instances.
package route
