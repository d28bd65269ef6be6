/**
 * Converts a state chart without actions into a transition table. Loading xstate would cost memory on each VM and a
 * longer start.
 */

/** A chart as in its JSON file. */
type Chart<State extends string> = {readonly states: Readonly<Record<State, {readonly on?: Readonly<Record<string, string>>}>>};

/** Next state by state and event; an event that a state does not list is ignored. */
export type ChartTable<State extends string> = ReadonlyMap<State, ReadonlyMap<string, State>>;

export function chartTable<State extends string>({states}: Chart<State>): ChartTable<State> {
	const isState = (name: string): name is State => Object.hasOwn(states, name);
	return new Map(Object.keys(states).filter(name => isState(name)).map(name => {
		const targets = Object.entries(states[name].on ?? {}).filter((pair): pair is [string, State] => isState(pair[1]));
		return [name, new Map(targets)];
	}));
}
