/** fast-check commands for a fuzzed world. A failed history is printed as a list of command labels with their numbers. */
import fc from 'fast-check';
import {type FaultCoverage} from './fault-coverage.ts';

/** Worlds are checked at the end of a history, so the commands need no model. */
export type EmptyModel = Record<string, never>;

export type ApplyCommand<World> = (world: World, numbers: readonly number[]) => void;

/** A kind of command: its weight in the random choice, and the inclusive maximum of each of its numbers. */
export type CommandKind<World> = {
	readonly label: string;
	readonly weight: number;
	readonly maxValues: readonly number[];
	readonly apply: ApplyCommand<World>;
};

/** The item at `position` modulo the length; undefined if there are no items. */
export const pickModulo = <T>(items: readonly T[], position: number): T | undefined => items[position % Math.max(1, items.length)];

class WorldCommand<World> implements fc.Command<EmptyModel, World> {
	private readonly _kind: CommandKind<World>;
	private readonly _numbers: readonly number[];
	private readonly _coverage: FaultCoverage;

	constructor(kind: CommandKind<World>, numbers: readonly number[], coverage: FaultCoverage) {
		this._kind = kind;
		this._numbers = numbers;
		this._coverage = coverage;
	}

	check(): boolean {
		return true;
	}

	run(_model: EmptyModel, world: World): void {
		this._coverage.countCommand();
		this._kind.apply(world, this._numbers);
	}

	toString(): string {
		return `${this._kind.label}(${this._numbers.join(', ')})`;
	}
}

/** Arbitrary lists of at most `maxLength` commands of the kinds in the table. */
export function commandLists<World>(table: ReadonlyArray<CommandKind<World>>, coverage: FaultCoverage, maxLength: number): fc.Arbitrary<Iterable<fc.Command<EmptyModel, World>>> {
	const one = fc.oneof(...table.map(kind => ({
		weight: kind.weight,
		arbitrary: fc.tuple(...kind.maxValues.map(limit => fc.nat(limit))).map((numbers: readonly number[]) => new WorldCommand(kind, numbers, coverage)),
	})));
	return fc.commands([one], {maxCommands: maxLength, size: 'max'});
}
