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

export LINENSCALE_HOSTS=127.10.1.2:7400,127.10.2.2:7400
ops() { "$bin/linenscale" "$@"; }

say "a selector change while requests run: south reviews stay in Lagos"
load=$work/load.txt
"$bin/linenscale-lab" load --gateway http://127.10.1.2:7100/services/review-assistant/v1/chat/completions --model gerber-review-14b --home lagos --rate 40 --time 6s >"$load" &
loader=$!
cp -r "$here/cooperative/declarations" "$work/declarations"
sed -i 's/allow: region in (lagos, abuja), role=review/allow: region=lagos, role=review/' "$work/declarations/selectors.yaml"
ops apply "$work/declarations"
sleep 1
ops status

say "the leader of the control log is killed, and another change applied"
leader=$(ops status -o json | sed -n 's/^  "leader": "\(.*\)",$/\1/p')
echo "killing $leader"
kill -KILL "$(cat "$work/$leader.pid")"
cp "$here/cooperative/declarations/selectors.yaml" "$work/declarations/selectors.yaml"
began=$(date +%s%N)
ops apply "$work/declarations"
echo "accepted $((($(date +%s%N) - began) / 1000000)) ms after it was asked for"
wait "$loader"
echo "the requests that ran meanwhile:"
cat "$load"
start "$leader" "$bin/linenscaled" --settings "$here/cooperative/settings.yaml" --host "$leader"

say "Kano is cut off: it goes on serving its members, and a change that matters to it is refused"
curl -sS -X POST "http://127.10.0.1:7901/cut?region=kano&cut=true"
sleep 5
chat 127.10.3.2 review-assistant kano gerber-review-14b "is this annular ring wide enough?"
echo
sed -i 's/allow: region in (kano, abuja), role=review/allow: region=abuja, role=review/' "$work/declarations/selectors.yaml"
ops apply "$work/declarations" || echo "exit code $?"
cp "$here/cooperative/declarations/selectors.yaml" "$work/declarations/selectors.yaml"

say "an order in the cut-off region, sent again on another host after a lost answer, runs once"
order() { curl -sS -H 'Linenscale-Home: kano' -H 'Order: panel-9' -H 'Idempotency-Key: panel-9' -d 'two boards' "http://$1:7100/services/member-portal/orders"; }
order 127.10.3.2 >/dev/null
order 127.10.3.3
echo "times it ran: $(curl -sS 'http://127.10.3.201:8000/engine/ran?order=panel-9')"
curl -sS -X POST "http://127.10.0.1:7901/cut?region=kano&cut=false"

say "an engine is stopped while it streams: the stream ends whole"
engine=review-assistant-nassarawa-hall-1
stream=$work/stream.txt
for n in 1 2 3 4 5 6; do
	curl -sS -N -H 'Linenscale-Home: kano' -d '{"model":"gerber-review-14b","stream":true,"max_tokens":1500,"messages":[{"role":"user","content":"a long review"}]}' \
		http://127.10.3.3:7100/services/review-assistant/v1/chat/completions >"$stream.$n" &
	streams[n]=$!
done
sleep 3
LINENSCALE_HOSTS=127.10.2.2:7400 ops label "$engine" state=stopping
LINENSCALE_HOSTS=127.10.3.3:7400 ops wait "$engine"
for n in 1 2 3 4 5 6; do wait "${streams[n]}"; done
echo "streams that ended with their last event: $(grep -l '^data: \[DONE\]' "$stream".* | wc -l) of 6"
ops history
say "hosts that find each other by seeds: three control hosts and three gateways, harmed for 5 s"
"$bin/linenscale-soak" --program "$bin/linenscaled" --seed 1 --time 5s --gateways 1 --engines 1

say "done"
