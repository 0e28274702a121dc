/* script: runs scripts with one action per line: "MS VERB ARGUMENTS".
 *
 * Calls have the names of the report: P1 or F2, the letter of the kind and the
 * number in order of opening.  An instance is a number or "home:P1", the owner
 * of that request.  An upstream is a number, "holder:F2" (the upstream of a
 * feed) or "ran:P1" (the upstream that ran a request first). */
#include "test/fleet.h"

#include <sstream>
#include <stdexcept>

typedef std::vector<std::string> words_t;

static call_t &
find_call(fleet_t &f, const std::string &id)
{
    for (call_t &c : f.calls) {
        if (c.id == id) {
            return c;
        }
    }
    throw std::runtime_error("no call " + id);
}

static int
parse_instance(fleet_t &f, const std::string &s)
{
    if (s.rfind("home:", 0) == 0) {
        return f.owner_of(find_call(f, s.substr(5)));
    }
    return std::stoi(s);
}

static int
parse_upstream(fleet_t &f, const std::string &s)
{
    if (s.rfind("holder:", 0) == 0) {
        return f.feed_upstream(s.substr(7));
    }
    if (s.rfind("ran:", 0) == 0) {
        auto &list = f.runs[s.substr(4)];
        return list.empty() ? 0 : std::stoi(list.front());
    }
    return std::stoi(s);
}

static int
parse_service(const std::string &s)
{
    return s == "monitor"   ? SERVICE_MONITOR
           : s == "archive" ? SERVICE_ARCHIVE
                            : SERVICE_RAW;
}

static call_kind_t
parse_kind(const std::string &verb)
{
    static const std::map<std::string, call_kind_t> kinds = {
        {"post", CALL_POST},     {"read", CALL_READ}, {"feed", CALL_FEED},
        {"upload", CALL_UPLOAD}, {"raw", CALL_RAW},
    };

    return kinds.at(verb);
}

static int
int_arg(const words_t &w, size_t i, int fallback)
{
    return i < w.size() ? std::stoi(w[i]) : fallback;
}

/* post SERVICE [COUNT] | post SERVICE client=N mid=N token=N */
static void
open_calls(fleet_t &f, const words_t &w)
{
    int service = w[0] == "raw" ? SERVICE_RAW : parse_service(w[1]);
    int client = -1, mid = -1, token = -1, count = 1, blocks = 8;

    for (size_t i = w[0] == "raw" ? 1 : 2; i < w.size(); i++) {
        size_t eq = w[i].find('=');
        std::string key = w[i].substr(0, eq);
        int v = std::stoi(w[i].substr(eq == std::string::npos ? 0 : eq + 1));
        (key == "client"   ? client
         : key == "mid"    ? mid
         : key == "token"  ? token
         : key == "blocks" ? blocks
                           : count) = v;
    }
    for (int i = 0; i < count; i++) {
        call_t &c =
            f.open(parse_kind(w[0]), service, client, (uint32_t)blocks);
        if (mid >= 0) {
            c.mid = (uint16_t)mid;
        }
        if (token >= 0) {
            c.token.assign(4, (uint8_t)token);
        }
    }
}

static bool
instance_verb(fleet_t &f, const words_t &w)
{
    const std::string &v = w[0];

    if (v == "join") {
        f.join();
    }
    else if (v == "kill") {
        f.kill(parse_instance(f, w[1]));
    }
    else if (v == "leave") {
        f.leave(parse_instance(f, w[1]));
    }
    else if (v == "restart") {
        f.restart_instance(parse_instance(f, w[1]));
    }
    else if (v == "pause") {
        f.pause(parse_instance(f, w[1]), std::stoi(w[2]));
    }
    else if (v == "isolate") {
        f.isolate(parse_instance(f, w[1]));
    }
    else if (v == "cut") { /* between an instance and an upstream */
        f.disconnect(parse_instance(f, w[1]),
                     PARTY_UPSTREAM + parse_upstream(f, w[2]));
    }
    else if (v == "cut-all") { /* between all instances and an upstream */
        for (int i = 0; i < (int)f.inst.size(); i++) {
            f.disconnect(i, PARTY_UPSTREAM + parse_upstream(f, w[1]));
        }
    }
    else if (v == "part") { /* between two instances */
        f.disconnect(parse_instance(f, w[1]), parse_instance(f, w[2]));
    }
    else if (v == "deaf") { /* the first receives nothing from the second */
        f.disconnect_one_way(parse_instance(f, w[2]), parse_instance(f, w[1]));
    }
    else if (v == "heal") {
        f.reconnect_all();
    }
    else {
        return false;
    }
    return true;
}

static bool
upstream_verb(fleet_t &f, const words_t &w)
{
    const std::string &v = w[0];

    if (v == "push") {
        f.push_conf();
    }
    else if (v == "add") {
        f.add_upstream(parse_service(w[1]));
    }
    else if (v == "drain" || v == "undrain") {
        f.set_draining(parse_upstream(f, w[1]), v == "drain");
    }
    else if (v == "weight") {
        f.set_weight(parse_upstream(f, w[1]), std::stoi(w[2]));
    }
    else if (v == "recycle") {
        f.reassign_upstream(parse_upstream(f, w[1]), parse_service(w[2]));
    }
    else if (v == "up-restart") {
        f.restart_upstream(parse_upstream(f, w[1]),
                           int_arg(w, 2, IDENTITY_LEASE_MS));
    }
    else if (v == "up-kill") {
        f.kill_upstream(parse_upstream(f, w[1]));
    }
    else if (v == "freeze") { /* reports the given load from now on */
        f.upstreams[parse_upstream(f, w[1])].reported_busy = int_arg(w, 2, 0);
    }
    else if (v == "run-ms") { /* run time of requests from now on */
        for (upstream_t &u : f.upstreams) {
            u.run_ms = std::stoi(w[1]);
        }
    }
    else if (v == "gone") { /* the caller has left; its port may be reused */
        find_call(f, w[1]).finished = true;
        find_call(f, w[1]).outcome = "gone";
    }
    else if (v == "mute") {
        f.blackhole(find_call(f, w[1]));
    }
    else {
        return false;
    }
    return true;
}

void
fleet_t::run_script(const std::string &script)
{
    std::istringstream in(script);
    std::string line;

    while (std::getline(in, line)) {
        std::istringstream parts(line);
        std::string when, word;
        words_t w;
        if (!(parts >> when) || when[0] == '#') {
            continue;
        }
        while (parts >> word) {
            w.push_back(word);
        }
        run_until(origin + std::stoi(when));
        if (w.empty() || w[0] == "end") {
            continue;
        }
        if (!instance_verb(*this, w) && !upstream_verb(*this, w)) {
            open_calls(*this, w);
        }
    }
}
