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

// maxTitleBytes bounds a title and an author.
const maxTitleBytes = 200

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Parse reads a note's text. The error is an *InvalidError with every fault
// that the text alone shows; Check finds those that depend on the state.
func Parse(data []byte) (*Note, error) {
	if len(data) > MaxBytes {
		return nil, invalid(Fault{Reason: fmt.Sprintf("the note has %d bytes, at most %d are allowed", len(data), MaxBytes)})
	}
	root, fault := document(data)
	if fault != nil {
		return nil, invalid(*fault)
	}
	p := parser{note: &Note{}, seen: map[objectID]int{}}
	p.parse(root)
	if len(p.faults) > 0 {
		return nil, invalid(p.faults...)
	}
	return p.note, nil
}

func invalid(faults ...Fault) error {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Reason, b.Reason))
	})
	return &InvalidError{Faults: faults}
}

// document returns the only mapping of the text.
func document(data []byte) (*yaml.Node, *Fault) {
	d := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := d.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, &Fault{Reason: "the note is empty"}
		}
		f := yamlFault(strings.TrimPrefix(err.Error(), "yaml: "))
		return nil, &f
	}
	var more yaml.Node
	if err := d.Decode(&more); !errors.Is(err, io.EOF) {
		return nil, &Fault{Line: more.Line, Reason: "only one document is allowed"}
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, &Fault{Line: doc.Line, Reason: "the note must be a mapping"}
	}
	return doc.Content[0], nil
}

var yamlLine = regexp.MustCompile(`^line (\d+): `)

// yamlFault takes the line out of a message of the YAML library.
func yamlFault(message string) Fault {
	m := yamlLine.FindStringSubmatch(message)
	if m == nil {
		return Fault{Reason: message}
	}
	line, _ := strconv.Atoi(m[1]) // digits only; one too long for int stays 0
	return Fault{Line: line, Reason: strings.TrimPrefix(message, m[0])}
}

type objectID struct {
	kind Kind
	name string
}

// parser collects the note and its faults.
type parser struct {
	note   *Note
	faults []Fault
	seen   map[objectID]int // line of the first change
}

func (p *parser) fault(n *yaml.Node, format string, args ...any) {
	p.faults = append(p.faults, Fault{Line: n.Line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(root *yaml.Node) {
	for _, f := range p.fields(root) {
		switch f.name {
		case "title":
			p.note.Title = p.text(f.value)
		case "author":
			p.note.Author = p.text(f.value)
		case string(Add), string(Change), string(Withdraw):
			p.verb(Verb(f.name), f.value)
		default:
			p.fault(f.key, "unknown field %q", f.name)
		}
	}
	if p.note.Title == "" {
		p.faults = append(p.faults, Fault{Reason: "the title is missing"})
	}
	if len(p.seen) == 0 && len(p.faults) == 0 {
		p.faults = append(p.faults, Fault{Reason: "the note changes nothing"})
	}
	slices.SortStableFunc(p.note.Changes, func(a, b Item) int { return verbOrder(a.Verb) - verbOrder(b.Verb) })
}

func verbOrder(v Verb) int { return slices.Index([]Verb{Add, Change, Withdraw}, v) }

type field struct {
	name  string
	key   *yaml.Node
	value *yaml.Node
}

// fields returns the fields of a mapping; duplicates are faults.
func (p *parser) fields(n *yaml.Node) []field {
	if n.Kind != yaml.MappingNode {
		p.fault(n, "a mapping is expected")
		return nil
	}
	var fields []field
	first := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			p.fault(key, "a field name must be a plain word")
			continue
		}
		if line, ok := first[key.Value]; ok {
			p.fault(key, "field %q was already given in line %d", key.Value, line)
			continue
		}
		first[key.Value] = key.Line
		fields = append(fields, field{key.Value, key, value})
	}
	return fields
}

func (p *parser) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Tag != "!!str" {
		p.fault(n, "a string is expected")
		return ""
	}
	if len(n.Value) > maxTitleBytes {
		p.fault(n, "at most %d bytes are allowed", maxTitleBytes)
	}
	return n.Value
}

func (p *parser) verb(v Verb, n *yaml.Node) {
	for _, f := range p.fields(n) {
		s, ok := sections[Kind(f.name)]
		if !ok {
			p.fault(f.key, "unknown kind %q", f.name)
			continue
		}
		if f.value.Kind != yaml.SequenceNode {
			p.fault(f.value, "a list is expected")
			continue
		}
		for _, n := range f.value.Content {
			p.item(v, s, n)
		}
	}
}

func (p *parser) item(v Verb, s section, n *yaml.Node) {
	before := len(p.faults)
	item := Item{Verb: v, Kind: s.kind(), Line: n.Line}
	if v == Withdraw {
		item.Name = p.text(n)
	} else {
		item.Name = p.object(s, n)
		item.node = n
	}
	if len(p.faults) > before {
		return
	}
	if !namePattern.MatchString(item.Name) {
		p.fault(n, "%q is no valid name", item.Name)
		return
	}
	id := objectID{item.Kind, item.Name}
	if line, ok := p.seen[id]; ok {
		p.fault(n, "%s %q was already named in line %d", id.kind, id.name, line)
		return
	}
	p.seen[id] = n.Line
	p.note.Changes = append(p.note.Changes, item)
}

// object checks the fields of an object against its type and returns its name.
func (p *parser) object(s section, n *yaml.Node) (name string) {
	before := len(p.faults)
	p.strict(n, s.spec())
	if len(p.faults) > before {
		return ""
	}
	if err := s.decodes(n); err != nil {
		p.decodeFaults(n, err)
		return ""
	}
	for _, f := range p.fields(n) {
		if f.name == "name" {
			return f.value.Value
		}
	}
	p.fault(n, "the name is missing")
	return ""
}

func (p *parser) decodeFaults(n *yaml.Node, err error) {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		p.fault(n, "%v", err)
		return
	}
	for _, message := range types.Errors {
		p.faults = append(p.faults, yamlFault(message))
	}
}

var durationType = reflect.TypeFor[time.Duration]()

// strict reports unknown fields and wrong shapes, which the YAML library would
// pass over.
func (p *parser) strict(n *yaml.Node, t reflect.Type) {
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		p.fault(n, "anchors and aliases are not allowed")
	case t.Kind() == reflect.Struct:
		p.strictStruct(n, t)
	case t.Kind() == reflect.Slice:
		if n.Kind != yaml.SequenceNode {
			p.fault(n, "a list is expected")
			return
		}
		for _, element := range n.Content {
			p.strict(element, t.Elem())
		}
	case n.Kind != yaml.ScalarNode || n.Tag == "!!null":
		p.fault(n, "a value is expected")
	case t.Kind() == reflect.String && n.Tag != "!!str":
		p.fault(n, "a string is expected; quote %q", n.Value)
	case t == durationType && n.Tag != "!!str":
		p.fault(n, "a duration such as 1.5ms is expected")
	}
}

func (p *parser) strictStruct(n *yaml.Node, t reflect.Type) {
	for _, f := range p.fields(n) {
		sf, ok := fieldOf(t, f.name)
		if !ok {
			p.fault(f.key, "unknown field %q", f.name)
			continue
		}
		p.strict(f.value, sf.Type)
	}
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
