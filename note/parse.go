package note

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxStringBytes is the maximum length in bytes of a title, an author and the name of
// an object to withdraw.
const maxStringBytes = 200

// namePattern matches the valid names of objects, versions and data centres.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Parse parses the text of a note. The error is an *InvalidError with all faults
// that can be found in the text alone; Check finds those that depend on the state.
func Parse(data []byte) (*Note, error) {
	if len(data) > MaxBytes {
		return nil, newInvalidError(Fault{Reason: fmt.Sprintf("the note has %d bytes, at most %d are allowed", len(data), MaxBytes)})
	}
	root, fault := decodeDocument(data)
	if fault != nil {
		return nil, newInvalidError(*fault)
	}
	p := parser{note: &Note{}, firstLines: map[objectID]int{}}
	p.parseNote(root)
	if len(p.faults) > 0 {
		return nil, newInvalidError(p.faults...)
	}
	return p.note, nil
}

// newInvalidError returns an *InvalidError with the faults ordered by line.
func newInvalidError(faults ...Fault) error {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Reason, b.Reason))
	})
	return &InvalidError{Faults: faults}
}

// decodeDocument returns the top-level mapping of the YAML text, which must have
// exactly one document.
func decodeDocument(data []byte) (*yaml.Node, *Fault) {
	d := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	if err := d.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, &Fault{Reason: "the note is empty"}
		}
		f := faultFromYAML(strings.TrimPrefix(err.Error(), "yaml: "))
		return nil, &f
	}
	var second yaml.Node
	if err := d.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, &Fault{Line: second.Line, Reason: "only one document is allowed"}
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return nil, &Fault{Line: document.Line, Reason: "the note must be a mapping"}
	}
	return document.Content[0], nil
}

// yamlLinePrefix matches the line number in front of a message of the YAML library.
var yamlLinePrefix = regexp.MustCompile(`^line (\d+): `)

// faultFromYAML converts a message of the YAML library to a fault with its line.
func faultFromYAML(message string) Fault {
	m := yamlLinePrefix.FindStringSubmatch(message)
	if m == nil {
		return Fault{Reason: message}
	}
	line, _ := strconv.Atoi(m[1]) // the match has digits only; a number that overflows int is reported as line 0
	return Fault{Line: line, Reason: strings.TrimPrefix(message, m[0])}
}

// objectID identifies an object by kind and name.
type objectID struct {
	kind Kind
	name string
}

// parser builds a note from YAML and collects its faults.
type parser struct {
	note       *Note
	faults     []Fault
	firstLines map[objectID]int // line of the first change of each object
}

// addFault records a fault at the line of n.
func (p *parser) addFault(n *yaml.Node, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: n.Line, Reason: fmt.Sprintf(format, args...)})
}

// parseNote parses the top-level mapping and sorts the changes by verb.
func (p *parser) parseNote(root *yaml.Node) {
	for _, f := range p.mappingFields(root) {
		switch f.name {
		case "title":
			p.note.Title = p.parseString(f.value)
		case "author":
			p.note.Author = p.parseString(f.value)
		case string(Add), string(Change), string(Withdraw):
			p.parseVerb(Verb(f.name), f.value)
		default:
			p.addFault(f.key, "unknown field %q", f.name)
		}
	}
	if p.note.Title == "" {
		p.faults = append(p.faults, Fault{Reason: "the title is missing"})
	}
	if len(p.firstLines) == 0 && len(p.faults) == 0 {
		p.faults = append(p.faults, Fault{Reason: "the note changes nothing"})
	}
	slices.SortStableFunc(p.note.Changes, func(a, b ObjectChange) int { return verbOrder(a.Verb) - verbOrder(b.Verb) })
}

// verbOrder returns the position of a verb in the order of application.
func verbOrder(v Verb) int { return slices.Index([]Verb{Add, Change, Withdraw}, v) }

// field is one field of a YAML mapping.
type field struct {
	name  string
	key   *yaml.Node
	value *yaml.Node
}

// mappingFields returns the fields of a mapping. Any other node and a duplicate
// field are faults.
func (p *parser) mappingFields(n *yaml.Node) []field {
	if n.Kind != yaml.MappingNode {
		p.addFault(n, "a mapping is expected")
		return nil
	}
	var fields []field
	firstLines := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			p.addFault(key, "a field name must be a plain word")
			continue
		}
		if line, ok := firstLines[key.Value]; ok {
			p.addFault(key, "field %q was already given in line %d", key.Value, line)
			continue
		}
		firstLines[key.Value] = key.Line
		fields = append(fields, field{key.Value, key, value})
	}
	return fields
}

// parseString returns a string of at most maxStringBytes. Any other node is a fault.
func (p *parser) parseString(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Tag != "!!str" {
		p.addFault(n, "a string is expected")
		return ""
	}
	if len(n.Value) > maxStringBytes {
		p.addFault(n, "at most %d bytes are allowed", maxStringBytes)
	}
	return n.Value
}

// parseVerb parses the changes under one verb, which are listed by kind.
func (p *parser) parseVerb(v Verb, n *yaml.Node) {
	for _, f := range p.mappingFields(n) {
		h, ok := kindHandlers[Kind(f.name)]
		if !ok {
			p.addFault(f.key, "unknown kind %q", f.name)
			continue
		}
		if f.value.Kind != yaml.SequenceNode {
			p.addFault(f.value, "a list is expected")
			continue
		}
		for _, n := range f.value.Content {
			p.parseItem(v, h, n)
		}
	}
}

// parseItem parses one change and adds it to the note if it has no fault.
func (p *parser) parseItem(v Verb, h kindHandler, n *yaml.Node) {
	faultsBefore := len(p.faults)
	item := ObjectChange{Verb: v, Kind: h.kind(), Line: n.Line}
	if v == Withdraw {
		item.Name = p.parseString(n)
	} else {
		item.Name = p.parseObject(h, n)
		item.node = n
	}
	if len(p.faults) > faultsBefore {
		return
	}
	if !namePattern.MatchString(item.Name) {
		p.addFault(n, "%q is no valid name", item.Name)
		return
	}
	id := objectID{item.Kind, item.Name}
	if line, ok := p.firstLines[id]; ok {
		p.addFault(n, "%s %q was already named in line %d", id.kind, id.name, line)
		return
	}
	p.firstLines[id] = n.Line
	p.note.Changes = append(p.note.Changes, item)
}

// parseObject checks the fields of an object against the type for its kind and
// returns the object's name, which is empty if there is a fault.
func (p *parser) parseObject(h kindHandler, n *yaml.Node) (name string) {
	faultsBefore := len(p.faults)
	p.checkShape(n, h.specType())
	if len(p.faults) > faultsBefore {
		return ""
	}
	if err := h.tryDecode(n); err != nil {
		p.addDecodeFaults(n, err)
		return ""
	}
	for _, f := range p.mappingFields(n) {
		if f.name == "name" {
			return f.value.Value
		}
	}
	p.addFault(n, "the name is missing")
	return ""
}

// addDecodeFaults records the faults of a YAML decoding error, one for each type
// mismatch.
func (p *parser) addDecodeFaults(n *yaml.Node, err error) {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		p.addFault(n, "%v", err)
		return
	}
	for _, message := range typeErr.Errors {
		p.faults = append(p.faults, faultFromYAML(message))
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// checkShape records unknown fields and nodes of the wrong type, which the YAML
// library would ignore or convert silently.
func (p *parser) checkShape(n *yaml.Node, t reflect.Type) {
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		p.addFault(n, "anchors and aliases are not allowed")
	case t.Kind() == reflect.Struct:
		p.checkStructShape(n, t)
	case t.Kind() == reflect.Slice:
		if n.Kind != yaml.SequenceNode {
			p.addFault(n, "a list is expected")
			return
		}
		for _, element := range n.Content {
			p.checkShape(element, t.Elem())
		}
	case n.Kind != yaml.ScalarNode || n.Tag == "!!null":
		p.addFault(n, "a value is expected")
	case t.Kind() == reflect.String && n.Tag != "!!str":
		p.addFault(n, "a string is expected; quote %q", n.Value)
	case t == durationType && n.Tag != "!!str":
		p.addFault(n, "a duration such as 1.5ms is expected")
	}
}

// checkStructShape applies checkShape to the fields of a struct type.
func (p *parser) checkStructShape(n *yaml.Node, t reflect.Type) {
	for _, f := range p.mappingFields(n) {
		structField, ok := fieldByYAMLName(t, f.name)
		if !ok {
			p.addFault(f.key, "unknown field %q", f.name)
			continue
		}
		p.checkShape(f.value, structField.Type)
	}
}

// noYAMLName is the YAML tag of a field that a note can't give.
const noYAMLName = "-"

// fieldByYAMLName returns the field of struct type t with the given YAML tag.
func fieldByYAMLName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("yaml"); tag == name && tag != noYAMLName {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
