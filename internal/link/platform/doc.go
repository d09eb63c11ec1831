// Package platform is the plug-in that connects a process to the platform's key-value store and instance list.
package platform
