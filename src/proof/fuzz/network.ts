/** Simulated network. A cut loses all messages from one party to another, in one direction or both. */

export class Network {
	private readonly _cuts = new Set<string>();

	cut(from: string, to: string): void {
		this._cuts.add(`${from}>${to}`);
	}

	heal(): void {
		this._cuts.clear();
	}

	canPass(from: string, to: string): boolean {
		return !this._cuts.has(`${from}>${to}`);
	}

	canPassBothWays(one: string, other: string): boolean {
		return this.canPass(one, other) && this.canPass(other, one);
	}
}
