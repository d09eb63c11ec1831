// Package platform is a stand-in for the platform: a key-value store that speaks
// a subset of etcd's v3 JSON gateway, and a lagging instance list.
//
// POST /control injects faults and GET /counters reports what was called.
package platform
