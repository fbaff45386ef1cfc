# The steps of the demo; sourced by demo.sh.

say "starting 9 entry hosts of the cooperative and 8 of the association"
association cooperative 127.10.0.1:7901 ikeja-1 ikeja-2 ikeja-3 wuse-1 wuse-2 wuse-3 nassarawa-1 nassarawa-2 nassarawa-3
association association 127.11.0.1:7901 lac-1 lac-2 lac-3 thyna-1 thyna-2 thyna-3 joliette-1 joliette-2
for at in 127.10.1.{1,2,3} 127.10.2.{1,2,3} 127.10.3.{1,2,3} 127.11.1.{1,2,3} 127.11.2.{1,2,3} 127.11.3.{1,2}; do ready "http://$at:7100/readyz"; done
echo "all ready"

chat() { # host-ip service home model text [stream]
	curl -sS --max-time 20 -H "Linenscale-Home: $3" -H 'Content-Type: application/json' \
		-d "{\"model\":\"$4\",\"stream\":${6:-false},\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"$5\"}]}" \
		"http://$1:7100/services/$2/v1/chat/completions"
}

say "which entry hosts may a Kano member's board review use?"
curl -sS "http://127.10.1.1:7100/v1/entries?service=review-assistant&home=kano"

say "a Lagos member asks for a part substitution, whole and streamed"
chat 127.10.1.2 review-assistant lagos gerber-review-14b "is a 10k 0402 fine here?"
echo
chat 127.10.1.2 review-assistant lagos gerber-review-14b "and a 0603?" true

say "a Kano member's review at a Lagos host: redirected, no byte of the body read"
curl -sS -D - -o /dev/null -H 'Linenscale-Home: kano' -d '{"model":"gerber-review-14b","messages":[]}' \
	"http://127.10.1.1:7100/services/review-assistant/v1/chat/completions" | tr -d '\r' | grep -iE '^(HTTP|Location|Linenscale)'

say "a member in Marseille asks for icebreakers; a letter of Tunis is answered in Tunisia"
chat 127.11.3.1 conseillere marseille rencontre-9b "three icebreakers, please"
echo
chat 127.11.1.1 conseillere tunis rencontre-9b "my letter"
echo

say "a drill file is uploaded through the portal"
head -c 3000000 /dev/zero | curl -sS -H 'Linenscale-Home: lagos' -H 'Order: drill-1' -T - "http://127.10.1.1:7100/services/member-portal/drill/1"
