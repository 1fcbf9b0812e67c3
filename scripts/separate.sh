#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback: 1 platform stand-in, 2 entries, 6 boxes in 3 sites,
# 5 engines and 1 plain service; publishes 64 MiB of weights, rolls out two versions and asks through both entries.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${BASE_PORT:-17300}
run=${RUN_DIR:-run}
size=${SIZE:-64MiB}
rm -rf "$run" && mkdir -p "$run" bin
go build -o bin/ ./cmd/coralstair ./cmd/coralstair-lab

platform=127.0.0.1:$base
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true' EXIT
start() { # name command...
	local name=$1
	shift
	"$@" >"$run/$name.out" 2>"$run/$name.log" &
	pids+=($!)
}
until_true() { # seconds command...
	local tries=$(($1 * 5))
	shift
	for _ in $(seq "$tries"); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.2
	done
	echo "gave up waiting for: $*" >&2
	"$@" >&2
	return 1
}

printf 'secret' >"$run/secret"
: >"$run/keys"
for key in "operate op" "team relief"; do
	set -- $key
	bin/coralstair key "$1" "$2" >"$run/made"
	sed -n 's/^key:  //p' "$run/made" >"$run/$2.key"
	sed -n 's/^line: //p' "$run/made" >>"$run/keys"
done

common() { # id site port
	cat <<-INI
		[daemon]
		id = $1
		fleet = batbayar
		site = $2
		listen = 127.0.0.1:$3
		log-level = info
		[platform]
		table-url = http://$platform/table
		object-url = http://$platform/objects
		live-url = http://$platform/live
		secret-file = $run/secret
		list-interval = 500ms
	INI
}
sites=(ulaanbaatar darkhan khovd)
members=()
for i in 1 2; do
	port=$((base + i))
	{ common "entry-$i" "${sites[0]}" $port; printf '[entry]\nkeys-file = %s/keys\n' "$run"; } >"$run/entry-$i.ini"
done
for i in 1 2 3 4 5 6; do
	port=$((base + 10 + i)) site=${sites[$(((i - 1) % 3))]} service=drafts kind=model
	[ "$i" = 6 ] && service=ledger kind=plain
	{
		common "box-$i" "$site" $port
		printf '[box]\nservice = %s\nkind = %s\nupstream-url = http://127.0.0.1:%d\n' "$service" "$kind" $((base + 20 + i))
	} >"$run/box-$i.ini"
	members+=("{\"id\":\"box-$i\",\"role\":\"box\",\"fleet\":\"batbayar\",\"site\":\"$site\",\"address\":\"127.0.0.1:$port\",\"service\":\"$service\"}")
done
(IFS=,; echo "[${members[*]}]") >"$run/members.json"

start platform bin/coralstair-lab platform --listen "$platform" --live "$run/members.json"
for i in 1 2 3 4 5; do start "engine-$i" bin/coralstair-lab engine --listen 127.0.0.1:$((base + 20 + i)) --token-time 5ms; done
start plain-6 bin/coralstair-lab plain --listen 127.0.0.1:$((base + 26))
for i in 1 2; do start "entry-$i" bin/coralstair entry "$run/entry-$i.ini"; done
for i in 1 2 3 4 5 6; do start "box-$i" bin/coralstair box "$run/box-$i.ini"; done

export CORALSTAIR_ENTRY=http://127.0.0.1:$((base + 1)) CORALSTAIR_KEY_FILE=$run/op.key
export CORALSTAIR_OBJECT_URL=http://$platform/objects CORALSTAIR_SECRET_FILE=$run/secret
until_true 20 bin/coralstair show fleets
bin/coralstair do 'create fleet batbayar'
bin/coralstair do 'create service drafts in batbayar kind model replicas 5'
bin/coralstair do 'create service ledger in batbayar kind plain replicas 1 once'

serving() { # version count
	[ "$(bin/coralstair show boxes in batbayar where state = serving and version = "$1" | tail -n +2 | wc -l)" -ge "$2" ]
}
for v in 1 2; do
	bin/coralstair-lab weights --size "$size" --seed $v "$run/drafts-v$v.bin"
	digest=$(bin/coralstair publish --name "drafts-v$v" "$run/drafts-v$v.bin" | sed -n 's/^digest //p')
	began=$(date +%s%N)
	bin/coralstair do "declare version v$v of drafts in batbayar digest $digest"
	until_true 60 serving "v$v" 5
	echo "v$v is served by 5 boxes after $((($(date +%s%N) - began) / 1000000)) ms"
	for i in 1 2; do
		bin/coralstair-lab ask --entry "http://127.0.0.1:$((base + i))" --key-file "$run/relief.key" --service drafts --prompt "shift notice $v"
	done
done
bin/coralstair-lab ask --entry "$CORALSTAIR_ENTRY" --key-file "$run/relief.key" --service ledger --plain /slots --once-key slot-1 --prompt 'confirm slot'
bin/coralstair show boxes in batbayar
bin/coralstair show rollouts in batbayar
bin/coralstair show history in batbayar
ps -o rss=,args= -p "$(IFS=,; echo "${pids[*]}")" | awk '{printf "%7.1f MB  %s %s %s\n", $1/1024, $2, $3, $4}'
echo "separate processes: done"
