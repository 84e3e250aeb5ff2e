package pstoml

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
)

// checkTexts calls UnmarshalText on each non-empty string whose type implements it, to validate the value.
// The TOML library assigns values of string types directly and never calls their UnmarshalText.
func checkTexts(s *Source, value any) Findings {
	c := &textChecker{source: s}
	c.walk(reflect.ValueOf(value).Elem(), "")
	return c.findings
}

type textChecker struct {
	source   *Source
	findings Findings
}

func (c *textChecker) walk(v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			c.walk(v.Elem(), path)
		}
	case reflect.Slice:
		for i := range v.Len() {
			c.walk(v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			if name != "" && name != "-" {
				c.walk(v.Field(i), joinPath(path, name))
			}
		}
	case reflect.String:
		c.check(v, path)
	}
}

func (c *textChecker) check(v reflect.Value, path string) {
	t, found := v.Addr().Interface().(encoding.TextUnmarshaler)
	if !found || v.String() == "" {
		return
	}
	if err := t.UnmarshalText([]byte(v.String())); err != nil {
		c.findings = append(c.findings, c.source.Finding(path, err.Error()))
		c.source.invalid[path] = true
	}
}
