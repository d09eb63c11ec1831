// Package etcd provides the wire types of a subset of etcd's v3 JSON gateway and a client for it.
package etcd
