package main

import (
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/settings"
)

type settingsCommand struct {
	Check     checkSettings          `command:"check" description:"Check a settings file without starting anything"`
	Print     printSettings          `command:"print" description:"Print the settings in force with their defaults"`
	Reference printSettingsReference `command:"reference" description:"Print the reference of all settings as Markdown"`
}

// settingsFile holds the flags that name a settings file and its kind.
type settingsFile struct {
	Scenario bool `long:"scenario" description:"The file is a load scenario, not that of an entry host."`
	Gateway  bool `long:"gateway" description:"The file is that of a gateway."`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// load reads and validates the file.
func (f settingsFile) load() (proto.Message, error) {
	if f.Scenario {
		scenario := &settingspb.Scenario{}
		return scenario, settings.Load(f.Args.File, scenario)
	}
	if f.Gateway {
		gateway := &settingspb.Gateway{}
		return gateway, settings.LoadGateway(f.Args.File, gateway)
	}
	entry := &settingspb.Entry{}
	return entry, settings.LoadEntry(f.Args.File, entry)
}

type checkSettings struct{ settingsFile }

// Execute validates a settings file.
func (c *checkSettings) Execute([]string) error {
	if _, err := c.load(); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type printSettings struct{ settingsFile }

// Execute prints the settings of a file, with the defaults of the keys that it omits.
func (c *printSettings) Execute([]string) error {
	message, err := c.load()
	if err != nil {
		return err
	}
	settings.Print(os.Stdout, message)
	return nil
}

type printSettingsReference struct{}

// Execute prints the reference of all settings.
func (*printSettingsReference) Execute([]string) error {
	writeReference(os.Stdout)
	return nil
}

// writeReference writes the reference of all settings as Markdown; docs/SETTINGS.md is its
// output.
func writeReference(w io.Writer) {
	fmt.Fprint(w, "# Settings\n\nMade from `api/settingspb/settings.proto` by `mallowgap settings reference`.\n\n")
	settings.Markdown(w, "Entry host", (&settingspb.Entry{}).ProtoReflect().Descriptor())
	settings.Markdown(w, "Gateway", (&settingspb.Gateway{}).ProtoReflect().Descriptor())
	settings.Markdown(w, "Load scenario", (&settingspb.Scenario{}).ProtoReflect().Descriptor())
}
