// Package settings loads INI files into the generated messages of api/settingspb.
// Each field of a file message is a section, and each field of a section message is a
// key. Field options of the schema give defaults and bounds. All faults of a file are
// reported at once.
package settings
