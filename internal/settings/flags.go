package settings

import "github.com/spf13/pflag"

// Register defines a flag for each setting. Flags override the settings file. The
// former name of a setting is accepted as well.
func Register(flags *pflag.FlagSet) {
	flags.SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if current, renamed := currentNames[name]; renamed {
			name = current
		}
		return pflag.NormalizedName(name)
	})
	for _, row := range Table {
		help := row.Help
		if row.Rule != "" {
			help += " [" + row.Rule + "]"
		}
		flags.Var(&flagValue{row: row, text: row.Default}, row.Name, help)
	}
}

// flagValue is the text of a setting's flag. It implements pflag.Value. Read parses
// the text together with those of the settings file.
type flagValue struct {
	row   Row
	text  string
	isSet bool
}

func (v *flagValue) String() string { return v.text }
func (v *flagValue) Type() string   { return string(v.row.Type) }

// Set replaces the text. The flag of a list may be repeated, which appends to it.
func (v *flagValue) Set(text string) error {
	if v.row.Type == List && v.isSet && v.text != "" {
		text = v.text + "," + text
	}
	v.text = text
	v.isSet = true
	return nil
}
