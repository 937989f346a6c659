package fleet

import (
	"bytes"
	"encoding/json"
	"testing"
)

// keepsNames checks that T reads text, which has every field with a distinct value, without a field left over and writes the
// same bytes.
func keepsNames[T any](t *testing.T, text string) {
	t.Helper()
	var want bytes.Buffer
	if err := json.Compact(&want, []byte(text)); err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(want.Bytes()))
	decoder.DisallowUnknownFields()
	var value T
	if err := decoder.Decode(&value); err != nil {
		t.Fatalf("%T: %v", value, err)
	}
	if got, err := json.Marshal(value); err != nil || !bytes.Equal(got, want.Bytes()) {
		t.Errorf("%T: %v\n got %s\nwant %s", value, err, got, want.Bytes())
	}
}

// Snapshots and commands are stored and sent between versions of the program, so the names and the order of their fields
// must stay as they are, whatever the Go fields are called.
func TestStoredNamesStay(t *testing.T) {
	keepsNames[Record](t, `{"v":2,"no":2,"voters":{"3":"t4"},"voters_no":5,"voter_max":6,
		"members":{"t7":{"id":"t8","kind":"t9","zone":"t10","addr":"t11","agent":"t12","labels":"t13","capacity":14.5}},
		"matters":{"t15":{"owner":"t16","fence":17,"term":18.5,"renewed":19,"wanted":"t20"}},
		"workers":{"t21":{"zone":"t22","out":true,"since":23,"by":"t24","why":"t25"}},
		"rows":[{"no":26,"what":"t27","of":"t28","by":"t29","why":"t30"}],
		"sessions":{"t31":{"last":32,"answer":{"no":33,"done":true,"why":"t34","fence":35},"at":36}},
		"limits":[{"kind":"t37","zone":"t38","label":"t39","most":40,"share":41.5,"capacity":42.5,"least":43}],
		"health":{"t44":{"state":"t45","of":46}},
		"permits":{"t47":{"op":"t48","no":49}},
		"ops":{"t50":{"id":"t51","kind":"t52","by":"t53","why":"t54","waves":[["t55"]],"wave":56,"together":57,"back":true,
			"done":true,"closed":true,"steps":{"t58":{"at":"t59","no":60,"undo":true,"start":"t61","why":"t62"}},
			"version":{"program":"t63","digest":"t64","config":"t65","name":"t66"},
			"gates":{"settled":67.5,"declined":68.5,"reversed":69.5,"txns":70,"lost":71},
			"watch":72.5,"pause":73.5,"wave_ms":74.5,"auto_back":true}},
		"halts":{"t75":{"of":"t76","by":"t77","why":"t78","no":79,"then":"t80"}},
		"retries":81}`)
	keepsNames[Command](t, `{"v":83,"caller":"t84","number":85,"do":"t86","by":"t87","why":"t88",
		"member":{"id":"t89","kind":"t90","zone":"t91","addr":"t92","agent":"t93","labels":"t94","capacity":95.5},
		"id":"t96","zone":"t97","matter":"t98","owner":"t99","fence":100,"renewed":101,"term":102.5,"force":true,
		"seen":{"t103":{"state":"t104","of":105}},
		"op":{"id":"t106","kind":"t107","by":"t108","why":"t109","waves":[["t110"]],"wave":111,"together":112,"back":true,
			"done":true,"closed":true,"steps":{"t113":{"at":"t114","no":115,"undo":true,"start":"t116","why":"t117"}},
			"version":{"program":"t118","digest":"t119","config":"t120","name":"t121"},
			"gates":{"settled":122.5,"declined":123.5,"reversed":124.5,"txns":125,"lost":126},
			"watch":127.5,"pause":128.5,"wave_ms":129.5,"auto_back":true},
		"to":"t130","start":"t131","then":"t132",
		"limits":[{"kind":"t133","zone":"t134","label":"t135","most":136,"share":137.5,"capacity":138.5,"least":139}]}`)
	keepsNames[CommandResult](t, `{"no":140,"done":true,"why":"t141","fence":142}`)
	keepsNames[AgentCall](t, `{"op":"t143","member":"t144","call":"t145","no":146,"fence":147,"start":"t148"}`)
	keepsNames[AgentResult](t, `{"state":"t156","why":"t157","start":"t158","down":true}`)
	keepsNames[Txns](t, `{"settled":159,"declined":160,"reversed":161}`)
	keepsNames[StepExecutor](t, `{"notes":{"t164":{"no":165,"op":"t166","call":"t167","state":"t168","why":"t169"}},
		"halts":{"t170":{"of":"t171","by":"t172","why":"t173","no":174,"then":"t175"}}}`)
	keepsNames[LimitCount](t, `{"limit":{"kind":"t176","zone":"t177","label":"t178","most":179,"share":180.5,"capacity":181.5,"least":182},
		"of":183,"out":["t184"],"allowed":185,"why":"t186"}`)
	keepsNames[Forecast](t, `{"waves":[["t187"]],"most":{"t188":189},"seconds":190.5,"blocks":["t191"]}`)
	keepsNames[Acknowledgement](t, `{"id":"t192","state":"t193","why":"t194"}`)
}
