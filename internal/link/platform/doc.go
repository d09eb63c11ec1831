// Package platform links a process to the platform: its key-value store and its instance list.
package platform
