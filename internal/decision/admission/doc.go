// Package admission decides which pools may have accepted a submission before, and whether it may be passed to the pool
// that the configuration names.
package admission
