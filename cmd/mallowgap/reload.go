package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/settings"
)

// followReload reads the settings file again at each hangup signal. What it
// says of limits and addresses takes effect at the next start; a file with
// faults is reported and changes nothing.
func followReload(path string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		file := &settingspb.Gateway{}
		if err := settings.LoadGateway(path, file); err != nil {
			log.Error().Err(err).Msg("settings cannot be read again; those in force stay")
			continue
		}
		log.Info().Msg("settings read again: they are valid and take effect at the next start")
	}
}
