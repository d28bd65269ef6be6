/** The options of one command run. */

type OptionValue = string | boolean | number | undefined | ReadonlyArray<string | boolean | number>;

/** Reads options by name. The parser has already checked that each option is known and has a valid value. */
export class Options {
	private readonly _values: Readonly<Record<string, OptionValue>>;

	constructor(values: Readonly<Record<string, OptionValue>>) {
		this._values = values;
	}

	/** The value of an option; the last one if the option was repeated. */
	text(name: string): string | undefined {
		return this.texts(name).at(-1);
	}

	/** All values of an option that may be repeated. */
	texts(name: string): string[] {
		const value = this._values[name];
		if (value === undefined) {
			return [];
		}

		return (typeof value === 'object' ? value : [value]).map(String);
	}

	/** The value of an option whose definition allows only whole numbers. */
	number(name: string): number | undefined {
		const text = this.text(name);
		return text === undefined ? undefined : Number(text);
	}

	/** Whether a switch is set. */
	isSet(name: string): boolean {
		return this._values[name] === true;
	}
}
