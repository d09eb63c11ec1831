// Command teaselloft runs the daemon of an entry instance, a machine that accepts requests and jobs for a site,
// and provides the operators' commands.
//
// The plug-ins and subcommands are the packages that main imports; each registers itself from init.
package main
