package settings

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Print writes settings as an INI file, with the default of each key in a comment.
func Print(w io.Writer, settings proto.Message) {
	root := settings.ProtoReflect()
	fields := root.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if !f.IsMap() {
			printSection(w, string(f.Name()), root.Get(f).Message())
			continue
		}
		var names []string
		root.Get(f).Map().Range(func(k protoreflect.MapKey, _ protoreflect.Value) bool {
			names = append(names, k.String())
			return true
		})
		slices.SortFunc(names, cmp.Compare[string])
		for _, name := range names {
			key := protoreflect.ValueOfString(name).MapKey()
			printSection(w, string(f.Name())+" "+name, root.Get(f).Map().Get(key).Message())
		}
	}
}

func printSection(w io.Writer, name string, section protoreflect.Message) {
	fmt.Fprintf(w, "[%s]\n", name)
	fields := section.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		fmt.Fprintf(w, "; default: %s\n%s = %s\n", orNone(RuleOf(f).GetDefault()), f.Name(), format(section.Get(f)))
	}
	fmt.Fprintln(w)
}

// Markdown writes the reference documentation of a settings file, generated from its
// schema.
func Markdown(w io.Writer, title string, file protoreflect.MessageDescriptor) {
	fmt.Fprintf(w, "## %s\n\n", title)
	for i := range file.Fields().Len() {
		f := file.Fields().Get(i)
		section := f.Message()
		if f.IsMap() {
			section = f.MapValue().Message()
		}
		fmt.Fprintf(w, "### `[%s]`\n\n| key | form | default | meaning |\n| --- | --- | --- | --- |\n", sectionForm(f))
		for j := range section.Fields().Len() {
			key := section.Fields().Get(j)
			rule := RuleOf(key)
			value := orNone(rule.GetDefault())
			if rule.GetRequired() {
				value = "required"
			}
			fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", key.Name(), allowedForm(key, rule), value, strings.TrimSpace(rule.GetHelp()))
		}
		fmt.Fprintln(w)
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
