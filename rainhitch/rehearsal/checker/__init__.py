"""The judge: from the ledgers of clients, nodes, database, discovery and links, and never the router's
own word.
"""
