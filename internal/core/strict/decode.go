package strict

import (
	"encoding/json"
	"reflect"
)

// Decode fills the pointer target from a document; its error is a *FaultsError that lists every fault.
//
// Fields that the document leaves out keep their values in target.
func Decode(file string, data []byte, target any) error {
	root, faults := Parse(file, data)
	faults = append(faults, Check(root, reflect.TypeOf(target).Elem(), "")...)
	if err := faults.Err(); err != nil {
		return err
	}
	return DecodeNode(root, target)
}

// DecodeNode fills the pointer target from a node that Check accepted.
func DecodeNode(n Node, target any) error {
	if err := json.Unmarshal(n.Encode(), target); err != nil {
		return Faults{{At: n.At, Message: err.Error()}}.Err()
	}
	return nil
}
