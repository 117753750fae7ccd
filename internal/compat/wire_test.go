package compat

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

func TestMessagesKeepTheirFields(t *testing.T) {
	var out strings.Builder
	file := wireFile()
	fmt.Fprintf(&out, "file %s, package %s, syntax %s\n", file.Path(), file.Package(), file.Syntax())
	describeMessages(&out, file.Messages())
	describeEnums(&out, file.Enums())
	sameAsFixture(t, out.String(), "wire", "messages.txt")
}

func describeMessages(out *strings.Builder, messages protoreflect.MessageDescriptors) {
	for i := range messages.Len() {
		message := messages.Get(i)
		fmt.Fprintf(out, "\nmessage %s\n", message.FullName())
		fields := message.Fields()
		for j := range fields.Len() {
			fmt.Fprintf(out, "  %s\n", describeField(fields.Get(j)))
		}
		describeMessages(out, message.Messages())
		describeEnums(out, message.Enums())
	}
}

func describeField(field protoreflect.FieldDescriptor) string {
	text := fmt.Sprintf("%d %s %s %s", field.Number(), field.Name(), field.Cardinality(), field.Kind())
	switch {
	case field.Message() != nil:
		text += " " + string(field.Message().FullName())
	case field.Enum() != nil:
		text += " " + string(field.Enum().FullName())
	}
	if field.IsPacked() {
		text += " packed"
	}
	if field.IsMap() {
		text += " map"
	}
	if field.HasPresence() {
		text += " presence"
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		text += " in " + string(oneof.Name())
	}
	return text
}

func describeEnums(out *strings.Builder, enums protoreflect.EnumDescriptors) {
	for i := range enums.Len() {
		enum := enums.Get(i)
		fmt.Fprintf(out, "\nenum %s\n", enum.FullName())
		values := enum.Values()
		for j := range values.Len() {
			fmt.Fprintf(out, "  %d %s\n", values.Get(j).Number(), values.Get(j).Name())
		}
	}
}

func TestCallsKeepTheirPaths(t *testing.T) {
	var out strings.Builder
	services := wireFile().Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			method := methods.Get(j)
			fmt.Fprintf(&out, "/%s/%s takes %s and gives %s, streams %t and %t\n", services.Get(i).FullName(), method.Name(),
				method.Input().FullName(), method.Output().FullName(), method.IsStreamingClient(), method.IsStreamingServer())
		}
	}
	sameAsFixture(t, out.String(), "wire", "calls.txt")
}

func TestPackedCountsKeepTheirBytes(t *testing.T) {
	data, err := packedCounts()
	if err != nil {
		t.Fatal(err)
	}
	sameAsFixture(t, hex.EncodeToString(data)+"\n", "wire", "counts.txt")
}
