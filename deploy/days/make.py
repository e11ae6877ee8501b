#!/usr/bin/env python3
"""Writes a day of random troubles for the users' bench: make.py SEED > day.toml

Every kind that the bench's list of kinds names may be drawn, also those that a
site's own days don't draw, more than once and at any moment."""
import random
import sys

KINDS = [
    ("burst", dict(x=(1.2, 2.0), for_s=(2, 5)), [""]),
    ("shift", dict(share=(0.2, 0.6), for_s=(3, 7)), [""]),
    ("hot_tenant", dict(x=(3, 8), for_s=(3, 8)), [""]),
    ("retry_abuse", dict(share=(0.2, 0.4), x=(2, 4), for_s=(3, 6)), [""]),
    ("give_up", dict(share=(0.1, 0.3), for_s=(3, 6)), [""]),
    ("srv_crash", dict(share=(0.1, 0.3), for_s=(2, 6)), ["", "dark", "gone"]),
    ("srv_grey", dict(share=(0.1, 0.3), x=(0.2, 0.6), for_s=(3, 6)),
     ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
    ("srv_slow", dict(share=(0.1, 0.3), x=(3, 6), for_s=(3, 6)), [""]),
    ("srv_cut", dict(share=(0.1, 0.4), for_s=(3, 6)),
     ["", "fronts", "some", "one_way", "reset", "reborn"]),
    ("release", dict(share=(0.2, 0.5), gap_s=(0.5, 1)), [""]),
    ("scale_in", dict(share=(0.1, 0.2)), ["", "spot"]),
    ("scale_in", dict(x=(2, 2.7), for_s=(8, 15)), ["reclaim", "reclaim dry"]),
    ("answer_lost", dict(share=(0.3, 0.6), x=(0.02, 0.3), for_s=(3, 5)),
     ["", "reset"]),
    ("garble", dict(share=(0.3, 0.6), x=(0.01, 0.05), for_s=(3, 6)),
     ["", "extra", "extra late", "unframed", "early"]),
    ("replace_with_reuse", dict(share=(0.1, 0.25)), ["", "drain", "dark"]),
    ("node_kill", dict(share=(0.1, 0.3), for_s=(2, 5)), ["", "power"]),
    ("node_freeze", dict(share=(0.1, 0.2), for_s=(1, 5)), ["", "leader"]),
    ("node_slow", dict(share=(0.1, 0.2), x=(3, 7), for_s=(3, 6)), [""]),
    ("roll_term", dict(share=(0.3, 1.0), gap_s=(0.8, 1.5)), ["", "busy"]),
    ("herd_kill", dict(share=(0.3, 0.7), for_s=(1, 3)), ["", "power"]),
    ("add_nodes", dict(share=(0.3, 1.0)), [""]),
    ("replace_core", dict(x=(1, 2.5)), ["", "planned", "seed"]),
    ("seed_turnover", {}, [""]),
    ("kill_leader", dict(for_s=(2, 5)), ["kill", "freeze", "power", "cut"]),
    ("after_ack_kill", dict(for_s=(1, 4)), ["", "kill", "timed"]),
    ("after_ack_wipe", dict(for_s=(1, 4)), [""]),
    ("disk_slow", dict(x=(10, 40), for_s=(3, 6)), [""]),
    ("disk_stall", dict(for_s=(2, 5)), [""]),
    ("disk_full", dict(for_s=(2, 5)), [""]),
    ("clock_step", dict(share=(0.2, 0.4), x=(1000, 3000), for_s=(3, 6)),
     ["", "back", "ahead", "leader"]),
    ("core_cut", dict(for_s=(3, 6)),
     ["", "split", "all", "near", "one_way", "leader", "refuse", "both",
      "lure", "relieve", "behind", "seeds"]),
    ("node_cut", dict(share=(0.1, 0.3), for_s=(3, 6)), ["", "all", "servers"]),
    ("lossy", dict(x=(0.01, 0.05), for_s=(3, 6)), [""]),
    ("reset_conns", dict(share=(0.1, 0.5), x=(0.3, 0.8)), [""]),
    ("cloud_down", dict(for_s=(3, 6)), ["silent", "busy", "reset"]),
    ("cloud_slow", dict(x=(20, 60), for_s=(3, 6)), [""]),
    ("ack_lost", dict(x=(0.3, 0.7), for_s=(3, 8)), [""]),
]
PLANS = [
    ("config_change", {}, ["route", "weights", "timeout", "tenant", "quota",
                           "quota down", "topup", "idle"]),
    ("config_storm", dict(for_s=(1, 5), gap_s=(0.1, 0.6)), ["", "idle"]),
    ("config_race", dict(count=(1, 3), gap_s=(0.5, 1.2)), [""]),
    ("bad_config", dict(count=(1, 3), gap_s=(0.5, 1)),
     ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout",
      "old_version", "same_version", "stale_match", "shared_key"]),
    ("revoke", dict(count=(1, 2), gap_s=(1, 2)), ["", "last"]),
    ("hup", dict(share=(0.3, 1.0), gap_s=(0.5, 1)), [""]),
]
WHOLE = {"count"}


def draw(rng, kinds):
    kind, numbers, hows = rng.choice(kinds)
    parts = [f"at = {rng.uniform(0.5, 46):.2f}", f'kind = "{kind}"']
    for name, (low, high) in numbers.items():
        value = (rng.randint(low, high) if name in WHOLE
                 else round(rng.uniform(low, high), 3))
        parts.append(f"{name} = {value if name in WHOLE else float(value)}")
    how = rng.choice(hows)
    if how:
        parts.append(f'how = "{how}"')
    return "  { " + ", ".join(parts) + " },"


def main():
    seed = int(sys.argv[1])
    rng = random.Random(seed)
    print(f'[[day]]\nname = "drawn-{seed}"\nslot = "trouble"\nseed = {seed}')
    if rng.random() < 0.6:
        closing = rng.choice(["power_off_all", "wipe_after_ack", "kill_all"])
        print(f'closing = {{ kind = "{closing}", down_s = {rng.uniform(0.5, 2):.2f} }}')
    print("plan = [")
    for _ in range(rng.randint(2, 6)):
        print(draw(rng, PLANS))
    print("]\nfaults = [")
    for _ in range(rng.randint(5, 14)):
        print(draw(rng, KINDS))
    print("]")


if __name__ == "__main__":
    main()
