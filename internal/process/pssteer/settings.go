package pssteer

import (
	"context"
	"os"
	"reflect"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/platform"
)

// settingsInterval is the time between looks whether the settings file has changed without a signal.
const settingsPollInterval = time.Second

// watchSettings reads the settings file again after a signal or when it has changed.
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

// reload takes in the settings file. What a process listens to stays as it was at its start.
func (v *vm) reload(path, cause string) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		psevent.SettingsRejected.Log(v.logger, cause, err.Error())
		return
	}
	psevent.SettingsReloaded.Log(v.logger, cause, !reflect.DeepEqual(s, v.settings))
}

// changedAt returns when a file was written last; zero if it can't be told.
func modifiedAt(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
