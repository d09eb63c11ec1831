package strict

import (
	"encoding/json"
	"reflect"
)

// Decode decodes a document into the pointer target; its error is a *FaultsError with every fault.
//
// Fields that are absent from the document keep their values in target.
func Decode(file string, data []byte, target any) error {
	root, faults := Parse(file, data)
	faults = append(faults, Check(root, reflect.TypeOf(target).Elem(), "")...)
	if err := faults.Err(); err != nil {
		return err
	}
	return DecodeNode(root, target)
}

// DecodeNode decodes a node for which Check found no fault into the pointer target.
func DecodeNode(n Node, target any) error {
	if err := json.Unmarshal(n.Encode(), target); err != nil {
		return Faults{{At: n.At, Message: err.Error()}}.Err()
	}
	return nil
}
