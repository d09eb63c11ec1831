package operator

import "teaselloft/internal/core/listen"

// Name is the plug-in's name.
const Name = "operator"

// Settings of the plug-in.
type Settings struct {
	Listen listen.Settings `json:"listen"`
	Token  string          `json:"token"`  // bearer token that every request must carry
	Open   bool            `json:"open"`   // no token, allowed on a loopback address only
	Faults bool            `json:"faults"` // offer POST /cut, for failure tests
}

// Defaults are the settings unless the section says otherwise.
var Defaults = Settings{Listen: listen.Defaults()}

// updateCapacity is the length of the ring of view updates; publishers wait when it is full.
const updateCapacity = 256

// maxCommand bounds the body of a command, in bytes.
const maxCommand = 4 << 10
