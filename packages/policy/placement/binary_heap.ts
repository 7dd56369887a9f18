/** A binary heap: `pop` returns the smallest item by the given order. */

export class BinaryHeap<Item> {
  readonly #items: Item[] = [];
  readonly #compare: (left: Item, right: Item) => number;

  private constructor(compare: (left: Item, right: Item) => number) {
    this.#compare = compare;
  }

  static create<Item>(
    compare: (left: Item, right: Item) => number,
  ): BinaryHeap<Item> {
    return new BinaryHeap(compare);
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): Item | undefined {
    return this.#items[0];
  }

  push(item: Item): void {
    const items = this.#items;
    let index = items.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#compare(items[parent]!, item) <= 0) break;
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  pop(): Item | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (items.length === 0 || last === undefined) return first;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (
        right < items.length && this.#compare(items[right]!, items[child]!) < 0
      ) child = right;
      if (this.#compare(items[child]!, last) >= 0) break;
      items[index] = items[child]!;
      index = child;
    }
    items[index] = last;
    return first;
  }
}
