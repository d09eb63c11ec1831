package kernel

import "time"

// Duration is a length of time that settings write as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns the length of time.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}
