package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/settings"
)

// checkSettingsOnHangup validates the settings file on each SIGHUP and logs the
// result. The running process keeps its settings; changes take effect at the
// next start.
func checkSettingsOnHangup(path string, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		file := &settingspb.Gateway{}
		if err := settings.LoadGateway(path, file); err != nil {
			log.Error().Err(err).Msg("settings file is invalid; the settings in force stay")
			continue
		}
		log.Info().Msg("settings file is valid; changes take effect at the next start")
	}
}
