/** A chunk of at least this size is kept as it is; smaller ones are copied into blocks. */
const LARGE_CHUNK_BYTES = 4 * 1024;

/** Sizes of the blocks, which grow with the content. */
const MINIMUM_BLOCK_BYTES = 1024;
const MAXIMUM_BLOCK_BYTES = 16 * 1024;

/**
 * Collects chunks of bytes. Small chunks are copied into blocks, because a `Buffer` of a few
 * bytes costs far more memory than its content.
 */
export class CompactChunks {
  private chunks: Uint8Array[] = [];

  private block: Buffer | undefined;

  private blockSize = 0;

  private totalSize = 0;

  /** Size of the content. */
  public get size(): number {
    return this.totalSize;
  }

  /** Adds a chunk. Returns the number of bytes of memory that it adds. */
  public push(chunk: Uint8Array): number {
    const isFirst = this.totalSize === 0;
    this.totalSize += chunk.length;
    if (!isFirst && chunk.length < LARGE_CHUNK_BYTES) return this.copy(chunk);
    this.closeBlock();
    this.chunks.push(chunk);
    return chunk.length;
  }

  /** Removes the content and returns it in parts, without a copy. */
  public takeParts(): readonly Uint8Array[] {
    this.closeBlock();
    const { chunks } = this;
    this.clear();
    return chunks;
  }

  /** Removes the content and returns it as one buffer. */
  public take(): Buffer {
    const { totalSize } = this;
    const chunks = this.takeParts();
    const [first] = chunks;
    return chunks.length === 1 && Buffer.isBuffer(first) ? first : Buffer.concat(chunks, totalSize);
  }

  /** Removes the content. */
  public clear(): void {
    this.chunks = [];
    this.block = undefined;
    this.totalSize = 0;
  }

  private copy(chunk: Uint8Array): number {
    let added = 0;
    let offset = 0;
    while (offset < chunk.length) {
      if (this.block === undefined) added += this.openBlock();
      const copied = chunk.subarray(offset, offset + this.block!.length - this.blockSize);
      this.block!.set(copied, this.blockSize);
      offset += copied.length;
      this.blockSize += copied.length;
      if (this.blockSize === this.block!.length) this.closeBlock();
    }
    return added;
  }

  private openBlock(): number {
    const size = Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this.totalSize));
    // From no pool, so that the block keeps no other memory alive.
    this.block = Buffer.allocUnsafeSlow(size);
    this.blockSize = 0;
    return size;
  }

  private closeBlock(): void {
    if (this.block !== undefined) this.chunks.push(this.block.subarray(0, this.blockSize));
    this.block = undefined;
  }
}
