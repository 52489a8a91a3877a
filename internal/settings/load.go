package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"github.com/mallowgap/mallowgap/api/settingspb"
)

// Fault is one fault of a settings file.
type Fault struct {
	Section, Key string
	// Problem describes what is wrong, and Remedy how to correct it.
	Problem, Remedy string
}

// Error lists the faults of one file.
type Error struct {
	File   string
	Faults []Fault
}

// Error returns a line for each fault with file, section, key, problem and remedy.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: [%s] %s: %s: %s", e.File, f.Section, f.Key, f.Problem, f.Remedy))
	}
	return strings.Join(lines, "\n")
}

// Load sets the fields of target from an INI file and the defaults. It returns an
// *Error with all faults, or another error if the file cannot be read.
func Load(path string, target proto.Message) error {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, path)
	if err != nil {
		return fmt.Errorf("read settings: %w: specify a readable INI file", err)
	}
	l := &loader{file: file}
	l.loadRoot(target.ProtoReflect())
	if len(l.faults) > 0 {
		return &Error{File: path, Faults: l.faults}
	}
	return nil
}

type loader struct {
	file   *ini.File
	faults []Fault
}

func (l *loader) addFault(section, key, problem, remedy string) {
	l.faults = append(l.faults, Fault{Section: section, Key: key, Problem: problem, Remedy: remedy})
}

func (l *loader) loadRoot(root protoreflect.Message) {
	fields := root.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); !f.IsMap() {
			l.loadSection(string(f.Name()), root.Mutable(f).Message())
		}
	}
	for _, s := range l.file.Sections() {
		l.loadFileSection(root, s)
	}
}

// loadFileSection checks that a section of the file exists in the schema. It loads
// sections with a name, such as [class gold], into their map field.
func (l *loader) loadFileSection(root protoreflect.Message, s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			l.addFault("", k.Name(), "is set before the first section", "move it into a section")
		}
		return
	}
	kind, name, isNamed := strings.Cut(s.Name(), " ")
	f := root.Descriptor().Fields().ByName(protoreflect.Name(kind))
	switch {
	case f == nil:
		l.addFault(s.Name(), "", "unknown section", "use one of "+sectionNames(root.Descriptor()))
	case f.IsMap() != isNamed:
		l.addFault(s.Name(), "", "a section of this kind "+map[bool]string{true: "needs a", false: "cannot have a"}[f.IsMap()]+" name", "write ["+sectionForm(f)+"]")
	case f.IsMap():
		entries := root.Mutable(f).Map()
		value := entries.NewValue()
		l.loadSection(s.Name(), value.Message())
		entries.Set(protoreflect.ValueOfString(strings.TrimSpace(name)).MapKey(), value)
	}
}

func sectionForm(f protoreflect.FieldDescriptor) string {
	if f.IsMap() {
		return string(f.Name()) + " NAME"
	}
	return string(f.Name())
}

func sectionNames(d protoreflect.MessageDescriptor) string {
	var names []string
	for i := range d.Fields().Len() {
		names = append(names, "["+sectionForm(d.Fields().Get(i))+"]")
	}
	return strings.Join(names, ", ")
}

func (l *loader) loadSection(name string, target protoreflect.Message) {
	section, _ := l.file.GetSection(name)
	fields := target.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		rule := RuleOf(f)
		text := rule.GetDefault()
		if section != nil && section.HasKey(string(f.Name())) {
			key := section.Key(string(f.Name()))
			text = key.String()
			if len(key.ValueWithShadows()) > 1 {
				l.addFault(name, string(f.Name()), "is set more than once", "keep one")
			}
		}
		l.loadField(name, f, rule, text, target)
	}
	if section == nil {
		return
	}
	for _, k := range section.Keys() {
		if fields.ByName(protoreflect.Name(k.Name())) == nil {
			l.addFault(name, k.Name(), "unknown key", "use one of "+keyNames(target.Descriptor()))
		}
	}
}

func keyNames(d protoreflect.MessageDescriptor) string {
	var names []string
	for i := range d.Fields().Len() {
		names = append(names, string(d.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

func (l *loader) loadField(section string, f protoreflect.FieldDescriptor, rule *settingspb.Rule, text string, target protoreflect.Message) {
	if text == "" {
		if rule.GetRequired() {
			l.addFault(section, string(f.Name()), "is missing", "set it ("+rule.GetHelp()+")")
		}
		return
	}
	value, err := parse(f, text)
	if err != nil {
		l.addFault(section, string(f.Name()), err.Error(), "write "+allowedForm(f, rule))
		return
	}
	if problem := violation(f, rule, text, value); problem != "" {
		l.addFault(section, string(f.Name()), problem, "write "+allowedForm(f, rule))
		return
	}
	target.Set(f, value)
}

// RuleOf returns the rule in the options of a schema field.
func RuleOf(f protoreflect.FieldDescriptor) *settingspb.Rule {
	rule, _ := proto.GetExtension(f.Options(), settingspb.E_Rule).(*settingspb.Rule)
	return rule
}
