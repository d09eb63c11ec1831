// Package port declares the interfaces between the daemon and a platform: store, executors, instance list and
// placement adviser.
//
// An adapter implements them for one platform. The interfaces do not depend on a platform's formats or calls.
package port
