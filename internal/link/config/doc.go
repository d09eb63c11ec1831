// Package config is the plug-in that applies new configuration versions in this process.
//
// Its duty watches config/head, assembles the configuration version that the head names and publishes it. Versions only
// increase. The last valid version stays in effect while a newer one cannot be read.
package config
