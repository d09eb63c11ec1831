package kernel

import "time"

// Duration is a time.Duration that settings hold as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}
