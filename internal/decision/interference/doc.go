// Package interference learns which tasks slow each other down on an executor. The owner of a pool runs it.
//
// Observe is a pure function. Its input is what an executor has reported about a run and its neighbours; its output is the
// next state and the pairs of images that have been learned or forgotten.
package interference
