// Package config is the plug-in that brings new configuration versions into force in this process.
//
// Its duty follows config/head, assembles the configuration that it names and
// publishes it. Versions only increase; the last good one stays in force when
// a newer one cannot be read.
package config
