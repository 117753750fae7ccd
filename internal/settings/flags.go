package settings

import "github.com/spf13/pflag"

// Register declares a flag for every setting. Flags override the file. A former
// name of a setting is a flag too.
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

// flagValue is the value of a setting's flag, as text. It implements
// pflag.Value; the text is parsed with that of the file, by Read.
type flagValue struct {
	row   Row
	text  string
	isSet bool
}

func (v *flagValue) String() string { return v.text }
func (v *flagValue) Type() string   { return string(v.row.Type) }

// Set replaces the text; a list's flag may be repeated.
func (v *flagValue) Set(text string) error {
	if v.row.Type == List && v.isSet && v.text != "" {
		text = v.text + "," + text
	}
	v.text = text
	v.isSet = true
	return nil
}
