// Package site is a small stand-in for the users' platform: its store, executors and instance list, by the published pages.
//
// It keeps everything in memory and can be told to fail; it is no model of the platform's timing.
package site
