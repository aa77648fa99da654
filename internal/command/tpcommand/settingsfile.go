package tpcommand

import (
	"bytes"
	"os"
	"slices"
	"time"

	"teaselpin.example/teaselpin/internal/node/tprelaynode"
)

// settingsPollInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsPollInterval = time.Second

// settingsFile applies changes of the settings of a running node. Only the seeds
// change while it runs; the other settings apply at the start.
type settingsFile struct {
	path     string
	seeds    []string // in force
	setSeeds func([]string)
	data     []byte // of the file when it was last read; nil before that
}

// reload reads the file and puts its seeds in force. A file that cannot be read
// or is invalid changes nothing.
func (f *settingsFile) reload() error {
	var cfg tprelaynode.Settings
	if err := readSettings(f.path, &cfg); err != nil {
		return err
	}
	if !slices.Equal(cfg.Seeds, f.seeds) {
		f.seeds = cfg.Seeds
		f.setSeeds(cfg.Seeds)
	}
	return nil
}

// reloadIfChanged is reload for a file whose content has changed since the last
// call. A file that cannot be read has not changed.
func (f *settingsFile) reloadIfChanged() (changed bool, err error) {
	data, err := os.ReadFile(f.path)
	if err != nil || f.data != nil && bytes.Equal(data, f.data) {
		return false, nil
	}
	isFirst := f.data == nil
	f.data = data
	err = f.reload()
	return !isFirst, err
}
