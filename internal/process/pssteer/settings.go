package pssteer

import (
	"context"
	"os"
	"reflect"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/platform/pssettings"
)

// settingsPollInterval is the time between checks whether the settings file has changed without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings file after a signal or a change of its modification time.
func (v *vm) watchSettings(ctx context.Context, o Options) {
	last := modifiedAt(o.SettingsPath)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-o.Reload:
		case <-time.After(settingsPollInterval):
			cause = "file"
			if now := modifiedAt(o.SettingsPath); now.Equal(last) {
				continue
			}
		}
		last = modifiedAt(o.SettingsPath)
		v.reload(o.SettingsPath, cause)
	}
}

// reload reads the settings file and logs whether it is valid and differs from the settings in use. The running
// VM keeps the settings with which it started.
func (v *vm) reload(path, cause string) {
	s, err := pssettings.Read(path)
	if err != nil {
		psevent.SettingsRejected.Log(v.logger, cause, err.Error())
		return
	}
	psevent.SettingsReloaded.Log(v.logger, cause, !reflect.DeepEqual(s, v.settings))
}

// modifiedAt returns the modification time of a file; zero if it is unknown.
func modifiedAt(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
