#!/usr/bin/env bash
# Invalid settings and contracts are reported with file, line, key, reason, result code and exit status.
source "$(dirname "$0")/lib/common.sh"
configure_tandas
daemon=$binaries/apps/chervilpaddled
good=$work/pagos-1.ini
check "valid settings are accepted" "$daemon" --settings "$good" --check-settings
sed 's/^id = pagos-1/idd = pagos-1/' "$good" >"$work/bad.ini"
message=$("$daemon" --settings "$work/bad.ini" --check-settings 2>&1)
check "invalid settings exit with status 78" [ $? -eq 78 ]
check "the message names file, line and key" grep -q "bad.ini:2: key 'instance.idd': the key is not known (code 4002)" <<<"$message"
"$daemon" --settings "$good" --set log.level=loud --check-settings 2>/dev/null
check "overrides are checked" [ $? -eq 78 ]
"$daemon" --settings "$work/none.ini" 2>/dev/null
check "a missing file is refused" [ $? -eq 78 ]
start holder "$binaries/standins/chervilpaddle-standin" platform --listen "${callers_of[pagos-1]}"
until_true 5 bash -c "exec 3<>/dev/tcp/${callers_of[pagos-1]%:*}/${callers_of[pagos-1]##*:}" 2>/dev/null
message=$("$daemon" --settings "$good" 2>&1)
check "a port in use exits with status 69" [ $? -eq 69 ]
check "the message names the setting and the code" grep -q '"code":4005.*listen.callers' <<<"$message"
tool=$binaries/apps/chervilpaddle
check "valid contracts are accepted" "$tool" check "$root/examples/contracts/tandas"
check "valid contracts are accepted" "$tool" check "$root/examples/contracts/stamboliyski"
mkdir "$work/broken"
cp "$root"/examples/contracts/tandas/*.ini "$work/broken"
sed -i 's/^worth = 900/worth = 9000/' "$work/broken/organisers.ini"
message=$("$tool" check "$work/broken" 2>&1)
check "invalid contracts exit with status 1" [ $? -eq 1 ]
check "the message names line and reason" grep -q "organisers.ini:7: key 'worth': '9000' is not a whole number from 1 to 1000 (code 5004)" <<<"$message"
check "a code is explained" grep -q TicketRequired <<<"$("$tool" explain 2007)"
"$tool" explain 1 2>/dev/null
check "an unknown code is refused" [ $? -eq 2 ]
finish
