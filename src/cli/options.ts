/** The options of one run, as given. */

type Value = string | boolean | number | undefined | ReadonlyArray<string | boolean | number>;

/** Reads options by name; the parser has checked that each is known and has a value. */
export class Options {
	private readonly _values: Readonly<Record<string, Value>>;

	constructor(values: Readonly<Record<string, Value>>) {
		this._values = values;
	}

	/** The value of an option; of several the last. */
	text(name: string): string | undefined {
		return this.texts(name).at(-1);
	}

	/** All values of an option that may stand several times. */
	texts(name: string): string[] {
		const value = this._values[name];
		if (value === undefined) {
			return [];
		}

		return (typeof value === 'object' ? value : [value]).map(String);
	}

	/** The value of an option whose definition allows whole numbers only. */
	number(name: string): number | undefined {
		const text = this.text(name);
		return text === undefined ? undefined : Number(text);
	}

	/** Whether a switch is set. */
	isSet(name: string): boolean {
		return this._values[name] === true;
	}
}
