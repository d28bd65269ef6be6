/** One command over a fuzzed world, with its numbers, printed as it can be read. */
import fc from 'fast-check';
import {type FaultCoverage} from './fault-coverage.ts';

/** The worlds check themselves at the end; no model is needed between commands. */
export type NoModel = Record<string, never>;

export type Apply<World> = (world: World, numbers: readonly number[]) => void;

/** A kind of command: how often it is drawn, and the largest of each of its numbers. */
export type CommandKind<World> = {
	readonly label: string;
	readonly weight: number;
	readonly most: readonly number[];
	readonly apply: Apply<World>;
};

/** The item at a position, counted round and round. */
export const pick = <T>(items: readonly T[], position: number): T | undefined => items[position % Math.max(1, items.length)];

class WorldCommand<World> implements fc.Command<NoModel, World> {
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

	run(_model: NoModel, world: World): void {
		this._coverage.countCommand();
		this._kind.apply(world, this._numbers);
	}

	toString(): string {
		return `${this._kind.label}(${this._numbers.join(', ')})`;
	}
}

/** Lists of commands from a table, at most `most` long. */
export function commandsFrom<World>(table: ReadonlyArray<CommandKind<World>>, coverage: FaultCoverage, most: number): fc.Arbitrary<Iterable<fc.Command<NoModel, World>>> {
	const one = fc.oneof(...table.map(kind => ({
		weight: kind.weight,
		arbitrary: fc.tuple(...kind.most.map(limit => fc.nat(limit))).map((numbers: readonly number[]) => new WorldCommand(kind, numbers, coverage)),
	})));
	return fc.commands([one], {maxCommands: most, size: 'max'});
}
