package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mallowgap/mallowgap/api/settingspb"
)

// parse converts the text of a key to a value of the field's type.
func parse(f protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		return parseBool(text)
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("%q is not a whole number", text)
		}
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("%q is not a whole number", text)
		}
		return protoreflect.ValueOfUint64(n), nil
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x != x {
			return protoreflect.Value{}, fmt.Errorf("%q is not a number", text)
		}
		return protoreflect.ValueOfFloat64(x), nil
	case protoreflect.MessageKind:
		d, err := time.ParseDuration(text)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("%q is not a duration with a unit", text)
		}
		return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), nil
	default:
		return protoreflect.Value{}, fmt.Errorf("settings do not support fields of type %v", f.Kind())
	}
}

func parseBool(text string) (protoreflect.Value, error) {
	switch text {
	case "true":
		return protoreflect.ValueOfBool(true), nil
	case "false":
		return protoreflect.ValueOfBool(false), nil
	default:
		return protoreflect.Value{}, fmt.Errorf("%q is neither true nor false", text)
	}
}

// numericValue converts a value to a number for the check of its bounds. Durations
// are in seconds.
func numericValue(v protoreflect.Value) float64 {
	switch x := v.Interface().(type) {
	case uint32:
		return float64(x)
	case uint64:
		return float64(x)
	case float64:
		return x
	case protoreflect.Message:
		d, _ := x.Interface().(*durationpb.Duration)
		return d.AsDuration().Seconds()
	default:
		return 0
	}
}

// violation describes how a value violates its rule, or returns "" if it does not.
func violation(f protoreflect.FieldDescriptor, rule *settingspb.Rule, text string, v protoreflect.Value) string {
	if allowed := rule.GetOneOf(); len(allowed) > 0 && !slices.Contains(allowed, text) {
		return fmt.Sprintf("%q is not allowed", text)
	}
	if low, err := parse(f, rule.GetMin()); rule.GetMin() != "" && err == nil && numericValue(v) < numericValue(low) {
		return text + " is too small"
	}
	if high, err := parse(f, rule.GetMax()); rule.GetMax() != "" && err == nil && numericValue(v) > numericValue(high) {
		return text + " is too large"
	}
	return ""
}

// allowedForm describes the values allowed for a key.
func allowedForm(f protoreflect.FieldDescriptor, rule *settingspb.Rule) string {
	if allowed := rule.GetOneOf(); len(allowed) > 0 {
		return "one of " + strings.Join(allowed, ", ")
	}
	form := typeName(f)
	if rule.GetMin() != "" {
		form += " from " + rule.GetMin()
	}
	if rule.GetMax() != "" {
		form += " up to " + rule.GetMax()
	}
	return form
}

func typeName(f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return "a whole number"
	case protoreflect.DoubleKind:
		return "a number"
	case protoreflect.MessageKind:
		return "a duration such as 250ms or 2s"
	default:
		return "a text"
	}
}

// format returns a value as it is written in a settings file.
func format(v protoreflect.Value) string {
	if m, ok := v.Interface().(protoreflect.Message); ok {
		d, _ := m.Interface().(*durationpb.Duration)
		return d.AsDuration().String()
	}
	return fmt.Sprint(v.Interface())
}
