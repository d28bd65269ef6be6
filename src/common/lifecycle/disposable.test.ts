import {expect} from 'earl';
import {DisposableStore, MutableDisposable, toDisposable} from './disposable.ts';

describe('disposables', () => {
	it('disposes all items once, in reverse order of registration', function () {
		const log: string[] = [];
		const store = new DisposableStore();
		const first = store.add(toDisposable(() => log.push('first')));
		store.add(toDisposable(() => log.push('second')));
		store.dispose();
		store.dispose();
		first.dispose();
		store.add(toDisposable(() => log.push('late')));
		expect(log).toMatchSnapshot(this);
	});

	it('disposes the previous value of a mutable disposable', function () {
		const log: string[] = [];
		const holder = new MutableDisposable();
		holder.value = toDisposable(() => log.push('one'));
		holder.value = toDisposable(() => log.push('two'));
		holder.dispose();
		holder.value = toDisposable(() => log.push('three'));
		expect(log).toMatchSnapshot(this);
	});
});
