/** A state chart without actions as a table: loading xstate would cost each VM memory and a longer start. */

/** A chart as its file holds it. */
type Chart<State extends string> = {readonly states: Readonly<Record<State, {readonly on?: Readonly<Record<string, string>>}>>};

/** The state that follows from each state and event; an event that a state does not name changes nothing. */
export type ChartTable<State extends string> = ReadonlyMap<State, ReadonlyMap<string, State>>;

export function chartTable<State extends string>({states}: Chart<State>): ChartTable<State> {
	const isState = (name: string): name is State => Object.hasOwn(states, name);
	return new Map(Object.keys(states).filter(name => isState(name)).map(name => {
		const targets = Object.entries(states[name].on ?? {}).filter((pair): pair is [string, State] => isState(pair[1]));
		return [name, new Map(targets)];
	}));
}
